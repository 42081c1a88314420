// Package admission decides what may start on a backend server: online requests first, and batch streams in the slots that
// they leave free.
package admission
