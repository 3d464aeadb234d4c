/** The reason why a daemon failed to start. */
export interface StartError {
  kind: 'badSettings' | 'tlsFile' | 'addressInUse' | 'corruptJournal' | 'dataFolder';
  detail: string;
}
