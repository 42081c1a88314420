// Package jobread reads the results of jobs that another instance holds.
package jobread
