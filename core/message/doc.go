// Package message defines the messages that entry instances of tarragonwalk serve send to each other over io/peer.
package message
