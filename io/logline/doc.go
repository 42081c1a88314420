// Package logline writes log lines without blocking the code that logs.
package logline
