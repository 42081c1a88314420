// Package style checks the project's style rules that the linter does not cover.
package style
