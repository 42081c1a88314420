// Package schema holds the JSON schemas of messages and settings, from which Go types are generated.
package schema

import "embed"

// Files holds the JSON schemas by file name.
//
//go:embed *.json
var Files embed.FS
