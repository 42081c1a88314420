// Package documents measures the configuration document: its size, and the cost of decoding, validating and patching it.
package documents
