// Package configstore stores the configuration in the object store, one immutable object per version.
package configstore
