// Package jobpage defines the pages in which the results of a job are read.
package jobpage
