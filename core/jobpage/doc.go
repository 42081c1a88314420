// Package jobpage defines what a reader of a job's results gets.
package jobpage
