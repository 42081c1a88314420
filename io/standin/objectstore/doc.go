// Package objectstore is an in-memory stand-in for the platform's object store, with fault injection.
package objectstore
