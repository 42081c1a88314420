// Package coalesce reads a stream in larger pieces than those in which it arrives.
package coalesce
