// Package onlinecount notifies batch owners of online requests that this instance has in flight on their backend servers.
// The batch owner of a backend server is the entry instance that runs batch items on it.
package onlinecount
