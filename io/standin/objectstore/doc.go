// Package objectstore is a stand-in for the platform's object store with fault injection.
package objectstore
