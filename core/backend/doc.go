// Package backend defines the description that a backend server gives of itself.
package backend
