// Package access finds the workspace or operator that a bearer key belongs to.
package access
