// Package peers measures the messages between entry instances and the poll of the instance list over loopback.
package peers
