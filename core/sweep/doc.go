// Package sweep deletes records of an ended job that nothing reads any more.
package sweep
