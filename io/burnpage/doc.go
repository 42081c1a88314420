// Package burnpage renders a burn report as a single HTML file that loads nothing over the network and runs no scripts.
package burnpage
