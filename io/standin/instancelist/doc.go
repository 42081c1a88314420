// Package instancelist is a stand-in for the platform's instance list, which lags and has outages.
package instancelist
