// Package engine is a stand-in for a model engine. It has continuous batching, a prefix cache and fault injection.
package engine
