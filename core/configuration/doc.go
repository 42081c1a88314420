// Package configuration defines, validates and patches the versioned configuration that operators maintain.
package configuration
