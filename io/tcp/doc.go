// Package tcp opens connections that find out when the other end has gone silent.
package tcp
