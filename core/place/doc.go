// Package place chooses the backend server for a request and reserves a place there.
package place
