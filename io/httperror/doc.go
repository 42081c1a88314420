// Package httperror turns errors into HTTP responses in the OpenAI error format.
package httperror
