// Package admission decides what may start on a backend server: online work at once, batch work in what remains.
package admission
