// Package membership tracks which instances are live or leaving.
package membership
