// Package service is the client of plain services.
package service
