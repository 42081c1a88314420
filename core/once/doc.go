// Package once runs non-idempotent requests at most once, by a record of each request in the store.
package once
