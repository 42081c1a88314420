// Package membership keeps the live and leaving instances.
package membership
