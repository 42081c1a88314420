// Package response defines the response of a backend server to a forwarded request.
package response
