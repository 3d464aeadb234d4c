export * as backOffs from './backOffs';
