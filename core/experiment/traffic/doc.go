// Package traffic generates open-loop online requests and batch items for dispatchers.
package traffic
