// Package instancelist is a stand-in for the platform's instance list, with a lag and injected outages.
package instancelist
