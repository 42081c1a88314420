// Package duties decides which tasks an instance does on behalf of the whole fleet, and runs those that concern lost instances.
package duties
