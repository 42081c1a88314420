package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"tarragonwalk/core/fault"
)

// Ring maps the hashes of keys to the names of their owners. Once all are added, its other methods may be called concurrently.
type Ring struct {
	owners map[[sha256.Size]byte]string
}

// New returns a ring without keys.
func New() *Ring {
	return &Ring{
		owners: map[[sha256.Size]byte]string{},
	}
}

// Hash returns the hash of a key in the form that Add takes.
func Hash(key string) string {
	d := sha256.Sum256([]byte(key))

	return hex.EncodeToString(d[:])
}

// Matches reports in constant time whether the SHA-256 of key is hash.
func Matches(key string, hash [sha256.Size]byte) bool {
	d := sha256.Sum256([]byte(key))

	return subtle.ConstantTimeCompare(d[:], hash[:]) == 1
}

// Add adds a key by its hexadecimal SHA-256; it ignores any other text. If two owners have the same key, the alphabetically first name
// wins, so that all instances agree.
func (r *Ring) Add(owner, hash string) {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != sha256.Size {
		return
	}
	k := [sha256.Size]byte(b)
	if old, ok := r.owners[k]; !ok || owner < old {
		r.owners[k] = owner
	}
}

// Owner returns the name of a key's owner, or an error with code unauthorized if the key is unknown or empty.
func (r *Ring) Owner(key string) (string, error) {
	// The map is keyed by a digest, so the timing of the lookup reveals nothing about the key.
	owner, ok := r.owners[sha256.Sum256([]byte(key))]
	if key == "" || !ok {
		return "", fault.New(fault.CodeUnauthorized, "missing or unknown key")
	}

	return owner, nil
}
