// Package keyring finds the owners of keys of which only hashes are known.
package keyring
