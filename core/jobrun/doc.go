// Package jobrun runs the items of the jobs that this instance holds and lists their results.
package jobrun
