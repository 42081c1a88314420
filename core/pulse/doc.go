// Package pulse sends the regular message of an entry instance and takes those of the others.
package pulse
