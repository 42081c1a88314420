// Package jobread reads the results of jobs that another instance holds, from that instance or from the store.
package jobread
