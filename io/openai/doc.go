// Package openai defines the messages of the OpenAI-compatible API.
package openai
