// Package traffic drives dispatchers with online requests in an open loop and with batch items.
package traffic
