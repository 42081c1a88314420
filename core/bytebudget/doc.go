// Package bytebudget bounds the memory that messages from other processes take, however many there are.
package bytebudget
