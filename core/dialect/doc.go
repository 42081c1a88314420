// Package dialect names the headers by which callers and backend servers of one platform tell what the HTTP standard has
// no header for.
package dialect
