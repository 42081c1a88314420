// Package instance builds the parts of an entry instance, starts them and stops them.
package instance
