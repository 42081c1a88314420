// Package openai defines the request and response types of the OpenAI-compatible API.
package openai
