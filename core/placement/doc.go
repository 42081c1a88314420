// Package placement chooses the backend server for a request and reserves capacity there.
package placement
