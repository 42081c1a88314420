// Package once runs non-idempotent requests at most once.
package once
