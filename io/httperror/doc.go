// Package httperror turns failures into HTTP answers in the OpenAI error format.
package httperror
