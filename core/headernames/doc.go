// Package headernames names the HTTP headers that callers and backend servers of one platform use beyond the standard
// ones.
package headernames
