// Package style checks rules of the house style that the linter has no rule for.
package style
