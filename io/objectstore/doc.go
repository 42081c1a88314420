// Package objectstore is a client of the platform's object store.
package objectstore
