// Package isolation lets an instance that hears from no other one find out whether they are lost or only not heard.
package isolation
