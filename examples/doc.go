// Package examples holds the data of the demo and examples for users: settings, a configuration and a patch, online
// requests, a batch and an order.
package examples

import "embed"

// Files holds the data by file name.
//
//go:embed *.json *.jsonl *.toml
var Files embed.FS
