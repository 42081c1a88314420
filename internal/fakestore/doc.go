// Package fakestore is an in-memory object store with fault injection for tests.
package fakestore
