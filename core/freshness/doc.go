// Package freshness decides whether the configuration in force is known to have been the store's newest one recently enough.
package freshness
