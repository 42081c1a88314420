// Package faultserver serves HTTP for a stand-in over a listener with connection faults.
package faultserver
