// Package lifecheck finds out whether a backend server that has lost a connection has crashed: it connects once more, and sends nothing.
package lifecheck
