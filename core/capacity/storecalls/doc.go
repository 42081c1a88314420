// Package storecalls measures the calls that an instance without work makes to the object store.
package storecalls
