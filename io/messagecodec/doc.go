// Package messagecodec encodes messages between instances as CBOR, compressed when they are large.
package messagecodec
