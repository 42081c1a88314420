// Package memoryquota bounds the memory of messages that cannot be dropped once they are there, such as the bodies of requests that are at
// work. Further ones have to wait, or are refused.
package memoryquota
